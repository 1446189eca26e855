"""HTTP/1.1 on trio, by h11: a connection that makes calls and one that answers them."""
