//! Interfaces to the platform: discovery and the backends it lists, health checks of backends, the
//! ledger on disk, and the takeover of connections between processes of this relay.

pub mod directory;
pub mod discovery;
pub mod discovery_response;
pub mod health_check;
pub mod id_exchange;
pub mod ledger;
pub mod list_transfer;
mod packet_socket;
pub mod takeover;
