"""Admission where callers compete for scarce room."""
