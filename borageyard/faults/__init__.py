"""Fault matrix and replay of recorded traces."""
