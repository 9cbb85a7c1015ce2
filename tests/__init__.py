"""Tests, with one folder for each library."""

import logging

import structlog

# Tests check results, not logs: log lines about failures that a test provokes
# would hide the summary of the run.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)
