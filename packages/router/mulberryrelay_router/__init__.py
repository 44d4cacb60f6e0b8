"""Router process.

It accepts requests from callers, forwards each one to a backend server, and keeps its
local view of servers and key ownership in step with the coordinator. It also serves an
administration API.
"""
