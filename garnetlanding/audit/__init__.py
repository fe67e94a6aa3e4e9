"""What each head acted on, from when to when: recorded where it changes, kept in files, read over many
heads.
"""
