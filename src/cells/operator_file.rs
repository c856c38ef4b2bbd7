//! Builds a cell map from `[cells]` of the operator file and checks it. Each error names the key
//! and the value.

use super::map::{group_key, Cell, CellMap, NoEndpointPolicy, MAX_CELLS};
use crate::config::operator::{self, OperatorError, OperatorFile};

/// The highest weight of a cell. Each unit costs one hash per cell and key.
const MAX_WEIGHT: u32 = 16;

impl CellMap {
    /// Builds the map that `[cells]` sets.
    ///
    /// # Errors
    ///
    /// The first key with a value that is out of range or contradicts another one.
    pub fn from_operator_file(
        file: &OperatorFile,
        settings: &operator::Cells,
    ) -> Result<CellMap, OperatorError> {
        let cells = parse_cells(file, settings)?;
        if settings.least_servers > settings.most_servers {
            let problem = format!("is {}, more than most_servers", settings.least_servers);
            return Err(file.error("cells.least_servers", problem));
        }
        let no_endpoint = match settings.no_server {
            operator::NoServer::Refuse => NoEndpointPolicy::Reject,
            operator::NoServer::Borrow => NoEndpointPolicy::Borrow {
                max_borrowed: settings.borrow_most,
            },
        };
        let mut map = CellMap::new(
            cells,
            no_endpoint,
            settings.least_servers,
            settings.most_servers,
        );
        name_endpoints(&mut map, file, settings)?;
        pin_groups(&mut map, file, settings)?;
        Ok(map)
    }
}

fn parse_cells(
    file: &OperatorFile,
    settings: &operator::Cells,
) -> Result<Vec<Cell>, OperatorError> {
    let cell_count = settings.cell.len();
    if !(1..=MAX_CELLS).contains(&cell_count) {
        let problem = format!("has {cell_count} cells, outside 1 to {MAX_CELLS}");
        return Err(file.error("cells.cell", problem));
    }
    let mut cells: Vec<Cell> = Vec::new();
    for (index, cell) in settings.cell.iter().enumerate() {
        if cell.name.is_empty() || cells.iter().any(|other| other.name == cell.name) {
            let key = format!("cells.cell[{index}].name");
            let problem = format!("'{}' is empty or there twice", cell.name);
            return Err(file.error(&key, problem));
        }
        if !(1..=MAX_WEIGHT).contains(&cell.weight) {
            let key = format!("cells.cell[{index}].weight");
            let problem = format!("is {}, outside 1 to {MAX_WEIGHT}", cell.weight);
            return Err(file.error(&key, problem));
        }
        cells.push(Cell {
            name: cell.name.clone(),
            weight: cell.weight,
            quarantine: cell.quarantine,
        });
    }
    if cells.iter().all(|cell| cell.quarantine) {
        let problem = "all cells are for quarantine: sites that are not pinned would have no cell";
        return Err(file.error("cells.cell", problem));
    }
    Ok(cells)
}

fn name_endpoints(
    map: &mut CellMap,
    file: &OperatorFile,
    settings: &operator::Cells,
) -> Result<(), OperatorError> {
    for (cell, cell_settings) in settings.cell.iter().enumerate() {
        for (index, name) in cell_settings.servers.iter().enumerate() {
            let endpoint = crate::config::endpoint_list::endpoint_id(name);
            let earlier = map.named_endpoints.insert(endpoint, cell);
            if earlier.is_some_and(|earlier| earlier != cell) {
                let key = format!("cells.cell[{cell}].servers[{index}]");
                let problem = format!("'{name}' is named for two cells");
                return Err(file.error(&key, problem));
            }
        }
    }
    Ok(())
}

fn pin_groups(
    map: &mut CellMap,
    file: &OperatorFile,
    settings: &operator::Cells,
) -> Result<(), OperatorError> {
    for (index, pin) in settings.site.iter().enumerate() {
        let key = group_key(&pin.key);
        if key == 0 {
            let problem = "is empty or 0, which means no site";
            return Err(file.error(&format!("cells.site[{index}].key"), problem));
        }
        let Some(cell) = map.find(&pin.cell) else {
            let problem = format!("'{}' is no cell", pin.cell);
            return Err(file.error(&format!("cells.site[{index}].cell"), problem));
        };
        if map.pinned_groups.insert(key, cell).is_some() {
            let problem = format!("'{}' is there twice", pin.key);
            return Err(file.error(&format!("cells.site[{index}].key"), problem));
        }
    }
    Ok(())
}
