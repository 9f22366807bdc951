"""What became of requests that must not run twice, remembered over restarts."""
