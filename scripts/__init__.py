"""Scripts for developers of the project."""
