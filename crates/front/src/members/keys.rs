//! Keys that seal the members' datagrams.

/// Minimum length of a secret, bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Reads a secret: hexadecimal digits in a file that only its owner can read.
pub(super) fn read_secret(path: &std::path::Path) -> Result<Vec<u8>, String> {
    use std::os::unix::fs::PermissionsExt;
    let metadata = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if metadata.permissions().mode() & 0o077 != 0 {
        return Err("others may read it (chmod 600)".into());
    }
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let text = text.trim();
    let byte = |i: usize| text.get(i..i + 2).and_then(|t| u8::from_str_radix(t, 16).ok());
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    match bytes.filter(|b| b.len() >= MIN_SECRET_BYTES) {
        Some(bytes) => Ok(bytes),
        None => Err(format!("not {MIN_SECRET_BYTES} or more bytes as hexadecimal digits")),
    }
}
