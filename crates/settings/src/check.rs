//! Checks of the constraints within and between the sections `members` and `out`.

use crate::{FrontSettings, SettingsError};

impl FrontSettings {
    pub(crate) fn check_members(&self, file: &str) -> Result<(), SettingsError> {
        let fault = |line: u64, field: String, description: String| {
            Err(SettingsError::Field { file: file.into(), line, field, description })
        };
        let members = &self.members;
        if members.listen.is_some() && members.keys.is_empty() {
            return fault(
                0,
                "members.keys".into(),
                "0 keys are not in 1..=16: datagrams must be sealed".into(),
            );
        }
        if members.keys.len() > 16 {
            return fault(0, "members.keys".into(), format!("{} keys are not in 1..=16", members.keys.len()));
        }
        if let Some(i) =
            (1..members.keys.len()).find(|i| members.keys[..*i].iter().any(|k| k.id == members.keys[*i].id))
        {
            return fault(
                0,
                format!("members.keys[{i}].id"),
                format!("{} occurs twice", members.keys[i].id.get()),
            );
        }
        for (field, list) in [("members.seeds", &members.seeds), ("members.witnesses", &members.witnesses)] {
            if list.len() > 64 {
                return fault(0, field.into(), format!("{} addresses are not in 0..=64", list.len()));
            }
            if let Some(i) = (1..list.len()).find(|i| list[..*i].contains(&list[*i])) {
                return fault(0, format!("{field}[{i}]"), format!("{} occurs twice", list[i]));
            }
        }
        if members.probe_timeout_ms.get() * 2 > members.probe_interval_ms.get() {
            return fault(0, "members.answer_ms".into(), "greater than half of members.probe_ms".into());
        }
        if self.out_of_service.max_in_fleet.value > 20 {
            let description = format!("{} is not in 0..=20", self.out_of_service.max_in_fleet.value);
            return fault(
                self.out_of_service.max_in_fleet.referenced.line(),
                "out.fleet".into(),
                description,
            );
        }
        if self.out_of_service.is_enabled() && (members.listen.is_none() || members.witnesses.is_empty()) {
            let description =
                "needs members.listen and members.witnesses: a majority of the witnesses grants permits";
            return fault(
                self.out_of_service.max_in_fleet.referenced.line(),
                "out.fleet".into(),
                description.into(),
            );
        }
        Ok(())
    }
}
