//! Command-line entry point of the experiments tool.

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    rosemarybank_experiments::main().await
}
