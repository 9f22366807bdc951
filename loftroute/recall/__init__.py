"""Recall: remembers across restarts what became of requests that must not run twice."""
