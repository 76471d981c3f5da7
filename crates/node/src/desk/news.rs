//! The command channel and the configuration.

use super::*;

impl Desk {
    /// An event, and on which stream of the channel it came.
    pub(crate) fn told(&mut self, stream: u64, told: ChannelUpdate) {
        match self.directory.apply(told, unix_ms()) {
            Ok(None) => {}
            Ok(Some(news)) => self.news(news),
            Err(error) => {
                tracing::warn!(%error, "an event of the command channel is not taken");
                // That stream only: what of it still waits here must not end the next one.
                self.from.send_modify(|f| f.useless = f.useless.max(stream));
            }
        }
        let cursor = self.directory.cursor();
        self.from.send_modify(|f| f.cursor = cursor);
    }

    pub(super) fn news(&mut self, news: ListUpdate) {
        let now = self.clock.now();
        for e in &news.entries {
            // Another process at the same name or at the same address: what stood at the one before is cut. Not at
            // each word of the same one: what waits for a connection to it would be dropped.
            if let Some(ago) = e.started_ms_ago.filter(|_| self.core.server_list().is_restart(e)) {
                self.replaced(e.id, now.saturating_sub(Duration::from_millis(ago)));
            }
            if e.state == WireState::Serving {
                let before = self.core.server_list().others_at_address(e.address, e.id);
                before.into_iter().for_each(|server| self.replaced(server, Duration::MAX));
            }
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.gossip.set_servers(self.directory.name_digests());
        }
        self.inputs.push(Input::ListUpdate(news));
    }

    /// What the core is told before anything else.
    pub(crate) fn first(&mut self, input: In) {
        self.inputs.push(input);
    }

    /// A datagram of another session manager.
    pub(super) fn gossiped(&mut self, bytes: &[u8]) {
        let now = self.clock.now();
        let heard = self.gossip.as_mut().map(|w| w.gossip.handle_datagram(now, bytes)).unwrap_or_default();
        self.inputs.extend(heard.into_iter().map(Input::PeerReport));
    }

    pub(super) fn configured(&mut self, config: &Config) {
        tracing::info!(channel = %config.channel, "configuration read again");
        self.from.send_modify(|f| f.address = config.channel);
    }
}

#[cfg(test)]
mod tests;
