"""Tests of plantainstand_allotments."""
