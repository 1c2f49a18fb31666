"""Benches of borageyard, each against its bounds and baselines."""
