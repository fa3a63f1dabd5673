//! The resident memory of a process, as the kernel tells it.

/// The peak resident memory of a process so far, in KiB; `None` if the process has ended.
pub fn peak_resident_kb(process_id: u32) -> Option<u64> {
    status_value(process_id, "VmHWM:")
}

/// The resident memory of a process, in KiB; `None` if the process has ended.
pub fn resident_kb(process_id: u32) -> Option<u64> {
    status_value(process_id, "VmRSS:")
}

fn status_value(process_id: u32, key: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(key))?;
    value.split_whitespace().next()?.parse().ok()
}
