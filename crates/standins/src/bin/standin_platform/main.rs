//! Stand-in for the platform's object API.

mod flags;

use eyre::Result;
use rosemarybank_standins::{
    logging,
    platform::{PlatformControl, PlatformService, Store, initial},
    server,
};
use tokio::{net::TcpListener, sync::watch};

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags::StandinPlatform::from_env_or_exit();
    let log = logging::stderr_logger();
    let mut store = Store::default();
    if let Some(dir) = &flags.objects {
        initial::load_dir(&mut store, dir)?;
    }
    for file in &flags.instances {
        initial::load_instances(&mut store, file)?;
    }
    slog::info!(log, "objects loaded"; "revision" => store.revision());

    let listener = TcpListener::bind(flags.listen).await?;
    println!("listening platform {}", listener.local_addr()?);
    let signals = watch::Sender::default();
    let service = PlatformService::new(store);
    if let Some(addr) = flags.control {
        let control = TcpListener::bind(addr).await?;
        println!("listening control {}", control.local_addr()?);
        let handler = PlatformControl::new(service.clone(), signals.clone());
        tokio::spawn(server::serve(control, watch::Sender::default().subscribe(), handler));
    }
    println!("ready");
    server::serve(listener, signals.subscribe(), service).await;
    Ok(())
}
