"""Steady speeds of targets, and their slowdowns at present."""
