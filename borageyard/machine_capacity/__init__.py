"""Work of entries in proportion to their machines."""
