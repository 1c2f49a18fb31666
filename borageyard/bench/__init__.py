"""Benchmarks of borageyard, with their bounds and baselines."""
