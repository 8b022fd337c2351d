//! Load and experiment tool.

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    rosemarybank_experiments::main().await
}
