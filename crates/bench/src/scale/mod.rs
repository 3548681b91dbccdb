//! Placeholder.
pub fn run(_seed: u64) -> anyhow::Result<crate::output::Output> {
    anyhow::bail!("x")
}
