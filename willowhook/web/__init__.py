"""HTTP/1.1 client and server connections on trio, with h11."""
