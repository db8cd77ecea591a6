//! Load generator: open-loop arrivals, latency counted from the intended start.
