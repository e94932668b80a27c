//! What the guard knows of the calls that targets make while they serve others.
