"""Tests of borageyard."""
