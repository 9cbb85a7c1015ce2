"""Soaks with real processes."""
