//! What the fields of the members' and of the permits' section say together.

use crate::{FrontSettings, SettingsError};

impl FrontSettings {
    pub(crate) fn check_members(&self, file: &str) -> Result<(), SettingsError> {
        let fault = |line: u64, field: String, what: String| {
            Err(SettingsError::Field { file: file.into(), line, field, what })
        };
        let m = &self.members;
        if m.listen.is_some() && m.keys.is_empty() {
            return fault(0, "members.keys".into(), "0 keys are not in 1..=16: datagrams are sealed".into());
        }
        if m.keys.len() > 16 {
            return fault(0, "members.keys".into(), format!("{} keys are not in 1..=16", m.keys.len()));
        }
        if let Some(i) = (1..m.keys.len()).find(|i| m.keys[..*i].iter().any(|k| k.id == m.keys[*i].id)) {
            return fault(0, format!("members.keys[{i}].id"), format!("{} comes twice", m.keys[i].id.get()));
        }
        for (field, list) in [("members.seeds", &m.seeds), ("members.witnesses", &m.witnesses)] {
            if list.len() > 64 {
                return fault(0, field.into(), format!("{} addresses are not in 0..=64", list.len()));
            }
            if let Some(i) = (1..list.len()).find(|i| list[..*i].contains(&list[*i])) {
                return fault(0, format!("{field}[{i}]"), format!("{} comes twice", list[i]));
            }
        }
        if m.probe_timeout_ms.get() * 2 > m.probe_interval_ms.get() {
            return fault(0, "members.answer_ms".into(), "over half of members.probe_ms".into());
        }
        if self.out_of_service.max_in_fleet.value > 20 {
            let what = format!("{} is not in 0..=20", self.out_of_service.max_in_fleet.value);
            return fault(self.out_of_service.max_in_fleet.referenced.line(), "out.fleet".into(), what);
        }
        if self.out_of_service.is_enabled() && (m.listen.is_none() || m.witnesses.is_empty()) {
            let what = "needs members.listen and members.witnesses: permits are had of a majority of them";
            return fault(
                self.out_of_service.max_in_fleet.referenced.line(),
                "out.fleet".into(),
                what.into(),
            );
        }
        Ok(())
    }
}
