//! What a front's process is told.

use super::*;
use rand::seq::SliceRandom;

impl Fronts {
    /// Its settings: the shared ones with its own name, seed, ports and files.
    pub(super) fn settings(&self, front: usize, starts: u64) -> serde_json::Value {
        let c = &self.command;
        let mut s = c.settings.clone();
        let seed = self.seed(front, starts);
        s["instance"] = serde_json::json!({ "name": format!("front-{front}"), "fronts": c.fronts, "number": front, "seed": seed });
        let any = SocketAddr::from((c.host, 0)).to_string();
        s["listen"]["address"] = any.as_str().into();
        s["side"] = serde_json::json!({ "address": any });
        s["discovery"]["address"] = c.discovery.to_string().into();
        if let Some(wires) = &c.wires {
            s["discovery"]["address"] = wires.discovery(front).to_string().into();
        }
        if let (Some(wires), true) = (&c.wires, c.members) {
            let all =
                |n: usize| (0..n.min(c.fronts)).map(|f| wires.member(f).to_string()).collect::<Vec<_>>();
            let m = &mut s["members"];
            m["listen"] = any.as_str().into();
            m["address"] = wires.member(front).to_string().into();
            m["seeds"] = all(SEEDS).into();
            m["witnesses"] = all(WITNESSES).into();
            m["keys"] = serde_json::json!([{ "id": 1, "file": c.dir.join(KEY) }]);
        }
        let file = keep_file(&c.dir, front);
        if c.mode == StartMode::Cold {
            let _ = std::fs::remove_file(&file);
        }
        if c.policy == PolicyName::Forgets {
            forget(&file);
        }
        s["keep"]["file"] = serde_json::json!(file);
        if c.mode == StartMode::Warm {
            s["peers"]["addresses"] = self.seeds(front, seed).into();
        }
        s
    }

    /// Some peers' addresses, those that are gone among them: who starts does not know who runs.
    fn seeds(&self, front: usize, seed: u64) -> Vec<String> {
        let others = (0..self.count()).filter(|f| *f != front);
        let mut all: Vec<_> = others.filter_map(|f| self.slot(f).side).map(|a| a.to_string()).collect();
        all.shuffle(&mut crate::plan::stream(seed, "peers"));
        all.truncate(SEEDS);
        all
    }
}
