"""What heads tell each other where the settings allow it: short datagrams, each head's word with an age."""
