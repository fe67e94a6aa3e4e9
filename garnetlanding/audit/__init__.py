"""Audit of the versions that each instance used, and when.

An instance records each change of a version in segment files. The report commands merge the files of many
instances.
"""
