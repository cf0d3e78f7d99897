//! Load reports as text, with the field names that the settings define.

use baydrift::config::Field;
use baydrift::interface::Report;

/// Reads a report such as `idle:12;circuits:40`.
///
/// Unknown fields and values that are not numbers are ignored. Negative and non-finite values count as not
/// reported, see [`Field::put`].
pub fn read(text: &str, fields: &[(String, Field)]) -> Report {
    let mut report = Report::default();
    for part in text.split(';') {
        let Some((name, value)) = part.split_once(':') else { continue };
        let field = fields.iter().find(|(known, _)| known == name.trim()).map(|(_, field)| *field);
        if let (Some(field), Ok(value)) = (field, value.trim().parse::<f64>()) {
            field.put(value, &mut report);
        }
    }
    report
}
