"""Replicated log with a core state machine that does no I/O."""
