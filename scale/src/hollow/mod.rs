//! Hollow proxies: the decision module, many to a process, on a simulated clock.
