"""Client accounts on the users' platform: their keys and their turns."""
