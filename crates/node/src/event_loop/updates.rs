//! Updates from the command channel, from other session managers, and of the configuration.

use super::*;

impl EventLoop {
    /// Applies an update that was delivered by the given stream of the command channel.
    pub(crate) fn apply_channel_update(&mut self, stream: u64, update: ChannelUpdate) {
        match self.directory.apply(update, unix_ms()) {
            Ok(None) => {}
            Ok(Some(update)) => self.apply_list_update(update),
            Err(error) => {
                tracing::warn!(%error, "an update from the command channel is rejected");
                // Rejects this stream only: its remaining updates in the queue must not end a later stream.
                self.channel_position.send_modify(|p| p.rejected_stream = p.rejected_stream.max(stream));
            }
        }
        let cursor = self.directory.cursor();
        self.channel_position.send_modify(|p| p.cursor = cursor);
    }

    pub(super) fn apply_list_update(&mut self, update: ListUpdate) {
        let now = self.clock.now();
        for e in &update.entries {
            // A new process under the same name or address has lost the sessions of the previous one. An
            // update about the same process must not have this effect, as it would drop the lines queued for
            // the process.
            if let Some(ago) = e.started_ms_ago.filter(|_| self.core.server_list().is_restart(e)) {
                self.process_replaced(e.id, now.saturating_sub(Duration::from_millis(ago)));
            }
            if e.state == WireState::Serving {
                let previous = self.core.server_list().others_at_address(e.address, e.id);
                previous.into_iter().for_each(|server| self.process_replaced(server, Duration::MAX));
            }
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.protocol.set_servers(self.directory.gossip_servers(now, unix_ms()));
        }
        self.inputs.push(Input::ListUpdate(update));
    }

    /// Adds an input for the first step of the core.
    pub(crate) fn push_initial_input(&mut self, input: CoreInput) {
        self.inputs.push(input);
    }

    pub(super) fn gossip_received(&mut self, bytes: &[u8]) {
        let now = self.clock.now();
        let reports =
            self.gossip.as_mut().map(|g| g.protocol.handle_datagram(now, bytes)).unwrap_or_default();
        self.inputs.extend(reports.into_iter().map(Input::PeerReport));
    }

    pub(super) fn config_reloaded(&mut self, config: &Config) {
        tracing::info!(channel = %config.channel, "configuration reloaded");
        self.channel_position.send_modify(|p| p.address = config.channel);
    }
}

#[cfg(test)]
mod tests;
