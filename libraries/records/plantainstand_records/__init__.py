"""Request records that decide non-idempotent requests at most once."""
