"""``mulberryctl``, the command-line tool for operators of a deployment."""
