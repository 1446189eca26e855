"""The bench's wire: lines in, calls on the decision module, orders out as lines."""
