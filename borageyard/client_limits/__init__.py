"""Limits on what clients make a process hold."""
