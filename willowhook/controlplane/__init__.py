"""The running director: what happens is fed to the decision module, and what it orders is carried out."""
