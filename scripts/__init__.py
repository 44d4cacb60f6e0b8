"""Scripts for people who work on the project."""
