"""Serving system for multi-stage model pipelines."""
