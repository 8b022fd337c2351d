//! Temporary working directory for running the command-line tool.

pub mod servers;

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use tempfile::TempDir;

/// Directory with the files that the examples use.
pub struct Workspace(TempDir);

impl Workspace {
    pub fn new() -> Workspace {
        let dir = tempfile::tempdir().unwrap();
        let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
        fs::create_dir(dir.path().join("config")).unwrap();
        fs::create_dir(dir.path().join("keys")).unwrap();
        for entry in fs::read_dir(config).unwrap() {
            let path = entry.unwrap().path();
            // The examples only use files directly in `config`.
            if path.is_file() {
                fs::copy(&path, dir.path().join("config").join(path.file_name().unwrap())).unwrap();
            }
        }
        let workspace = Workspace(dir);
        assert!(workspace.run(&["bundle", "keygen", "ops-1", "--dir", "keys"]).status.success());
        workspace
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    /// Runs the tool without servers.
    pub fn run(&self, args: &[&str]) -> Output {
        // Port 1 of the loopback address refuses connections, so commands that need servers fail.
        self.run_at("127.0.0.1:1", args)
    }

    /// Runs the tool with the platform at this address.
    pub fn run_at(&self, platform: &str, args: &[&str]) -> Output {
        let refusing_addr = "127.0.0.1:1";
        Command::new(env!("CARGO_BIN_EXE_rosemarybank"))
            .args(args)
            .current_dir(self.path())
            .env("ROSEMARYBANK_PLATFORM", platform)
            .env("ROSEMARYBANK_ENTRY", refusing_addr)
            .env("ROSEMARYBANK_ADMIN", refusing_addr)
            .env("ROSEMARYBANK_TOKEN", "example-buyer-token")
            .output()
            .unwrap()
    }

    /// Runs the tool, expects success and returns its standard output.
    pub fn stdout(&self, args: &[&str]) -> String {
        let out = self.run(args);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
        String::from_utf8(out.stdout).unwrap()
    }
}
