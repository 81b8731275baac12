"""Serve HTTP with cheroot and send HTTP requests with urllib3."""

from __future__ import annotations

from dalehollow.web.client import Answer, CallError, HttpClient
from dalehollow.web.messages import HttpRequest, HttpResponse
from dalehollow.web.server import HttpServer

__all__ = ["Answer", "CallError", "HttpClient", "HttpRequest", "HttpResponse", "HttpServer"]
