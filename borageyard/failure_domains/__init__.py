"""Failure domains that are evacuated, come back cold, or are left."""
