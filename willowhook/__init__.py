"""willowhook: a configuration controller for a proxy fleet."""
