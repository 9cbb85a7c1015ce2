"""Tests; one folder for each library."""

import logging

import structlog

# Tests look at outcomes; lines about provoked failures would hide a summary.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)
