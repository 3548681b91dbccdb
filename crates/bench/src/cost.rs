//! Placeholder.
pub fn run() -> anyhow::Result<crate::output::Output> {
    anyhow::bail!("x")
}
