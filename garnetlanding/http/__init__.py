"""HTTP/1.1 as state machines that are fed bytes: answers (discovery, a collector) and operators' calls."""
