"""Adapter of the users' platform: its formats, and nothing that decides."""
