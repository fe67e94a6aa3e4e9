"""An independent review: cases, each with its script, and the stand-ins that they use."""
