"""Export of metrics and request spans to an OTLP collector. Off unless configured."""
