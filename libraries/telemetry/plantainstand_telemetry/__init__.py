"""Logs, metrics and traces of the plantainstand processes."""
