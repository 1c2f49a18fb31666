"""Adapter for the users' platform: translates formats, decides nothing."""
